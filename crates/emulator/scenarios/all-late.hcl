# All machines of the type come up late by a factor of five.
name = "all-late"
base = "site.hcl"

fault "late" {
  kind = "boots_late"
  at_s = 0
  for_s = 60
  factor = 5
}
