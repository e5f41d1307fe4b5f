# The default scenario of `finchquay-emulator up`: a small site with users and an
# occasional fault.
name = "sample"
base = "site.hcl"
duration_s = 86400
settle_s = 60

fault "slow-store" {
  kind = "store_slow"
  at_s = 60
  for_s = 10
  late_s = 0.4
}

fault "two-die" {
  kind = "die"
  at_s = 90
  count = 2
}

fault "restart" {
  kind = "rolling"
  at_s = 120
}

fault "store-away" {
  kind = "store_outage"
  at_s = 160
  for_s = 8
}
