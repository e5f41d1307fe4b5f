# Machines take five times as long to boot during the first minute.
name = "all-late"
base = "site.hcl"

fault "late" {
  kind = "boots_late"
  at_s = 0
  for_s = 60
  factor = 5
}
