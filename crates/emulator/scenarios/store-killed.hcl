# The state service is killed while it works and started again from its log, twice.
name = "store-killed"
base = "site.hcl"

fault "first" {
  kind = "store_restart"
  at_s = 10
  for_s = 3
}

fault "second" {
  kind = "store_restart"
  at_s = 25
  for_s = 6
}
