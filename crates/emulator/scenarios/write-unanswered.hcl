# Writes of several kinds are carried out and never answered.
name = "write-unanswered"
base = "site.hcl"

fault "mute-0" {
  kind = "write_unanswered"
  at_s = 6
  prefix = "fq/j/"
  count = 3
}

fault "mute-1" {
  kind = "write_unanswered"
  at_s = 10
  prefix = "fq/l/"
  count = 3
}

fault "mute-2" {
  kind = "write_unanswered"
  at_s = 14
  prefix = "fq/h/"
  count = 3
}

fault "mute-3" {
  kind = "write_unanswered"
  at_s = 18
  prefix = "fq/"
  count = 3
}
