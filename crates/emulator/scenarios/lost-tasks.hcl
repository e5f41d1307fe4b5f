# Acknowledged writes of placements and ends of tasks are lost, four times.
name = "lost-tasks"
base = "site.hcl"

fault "lose" {
  kind = "write_lost"
  at_s = 10
  prefix = "fq/l/"
  count = 4
}
