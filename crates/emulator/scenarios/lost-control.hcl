# Acknowledged writes of each kind of record that controllers keep about themselves are
# lost: members, blocks, the leader, the term, team quotas. A restart of all controllers
# makes them write most of these records.
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
