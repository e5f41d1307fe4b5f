# All controllers restart during an outage of the state service.
name = "store-away-all-restart"
base = "site.hcl"

fault "away" {
  kind = "store_outage"
  at_s = 12
  for_s = 12
}

fault "restart" {
  kind = "controller_kill"
  at_s = 15
}
