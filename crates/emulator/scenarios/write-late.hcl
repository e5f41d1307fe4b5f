# Writes of several kinds are carried out after the controller has given up on them,
# some shortly after and some much later.
name = "write-late"
base = "site.hcl"

fault "late-0" {
  kind = "write_late"
  at_s = 5
  prefix = "fq/j/"
  late_s = 3
  count = 2
}

fault "late-1" {
  kind = "write_late"
  at_s = 7
  prefix = "fq/l/"
  late_s = 3
  count = 3
}

fault "late-2" {
  kind = "write_late"
  at_s = 12
  prefix = "fq/l/"
  late_s = 3
  count = 3
}

fault "late-3" {
  kind = "write_late"
  at_s = 16
  prefix = "fq/l/"
  late_s = 3
  count = 3
}

fault "late-4" {
  kind = "write_late"
  at_s = 20
  prefix = "fq/j/"
  late_s = 20
  count = 2
}

fault "late-5" {
  kind = "write_late"
  at_s = 22
  prefix = "fq/h/"
  late_s = 3
  count = 2
}

fault "late-6" {
  kind = "write_late"
  at_s = 24
  prefix = "fq/l/"
  late_s = 25
  count = 2
}

fault "late-7" {
  kind = "write_late"
  at_s = 26
  prefix = "fq/"
  late_s = 25
  count = 2
}
