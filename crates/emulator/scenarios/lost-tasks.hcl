# An acknowledged write of places and ends of tasks is lost, several times.
name = "lost-tasks"
base = "site.hcl"

fault "lose" {
  kind = "write_lost"
  at_s = 10
  prefix = "fq/l/"
  count = 4
}
