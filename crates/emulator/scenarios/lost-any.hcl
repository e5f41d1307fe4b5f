# Acknowledged writes of any kind are lost, five times.
name = "lost-any"
base = "site.hcl"

fault "lose-0" {
  kind = "write_lost"
  at_s = 6
  prefix = "fq/"
  count = 1
  skip = 0
}

fault "lose-1" {
  kind = "write_lost"
  at_s = 11
  prefix = "fq/"
  count = 1
  skip = 1
}

fault "lose-2" {
  kind = "write_lost"
  at_s = 16
  prefix = "fq/"
  count = 1
  skip = 2
}

fault "lose-3" {
  kind = "write_lost"
  at_s = 21
  prefix = "fq/"
  count = 1
  skip = 3
}

fault "lose-4" {
  kind = "write_lost"
  at_s = 26
  prefix = "fq/"
  count = 1
  skip = 4
}
