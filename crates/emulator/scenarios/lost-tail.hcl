# The state service crashes and loses its last twenty transactions, as if its log had
# not been on disk; the revision goes back.
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
