# An acknowledged write of each record that controllers keep of themselves is
# lost: members, blocks, the lead, the term, limits of teams. A restart of all
# makes them write most of it.
name = "lost-control"
base = "site.hcl"

fault "member" {
  kind = "write_lost"
  at_s = 0
  prefix = "fq/m/"
}

fault "block" {
  kind = "write_lost"
  at_s = 0
  prefix = "fq/b/"
}

fault "team" {
  kind = "write_lost"
  at_s = 2
  prefix = "fq/q/"
}

fault "term" {
  kind = "write_lost"
  at_s = 19
  prefix = "fq/term"
}

fault "lead" {
  kind = "write_lost"
  at_s = 19
  prefix = "fq/lead"
}

fault "member-again" {
  kind = "write_lost"
  at_s = 19
  prefix = "fq/m/"
}

fault "block-again" {
  kind = "write_lost"
  at_s = 24
  prefix = "fq/b/"
}

fault "restart" {
  kind = "controller_kill"
  at_s = 20
}
