# The last twenty transactions are lost, as by a crash of the state
# service whose log was not on disk; the ledger goes back.
name = "lost-tail"
base = "site.hcl"

fault "tail" {
  kind = "tail_lost"
  at_s = 19.8
  count = 20
}

fault "crash" {
  kind = "store_restart"
  at_s = 20
  for_s = 1
}
