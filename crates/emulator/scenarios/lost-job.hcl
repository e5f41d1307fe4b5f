# Acknowledged writes of job records are lost, four times.
name = "lost-job"
base = "site.hcl"

fault "lose" {
  kind = "write_lost"
  at_s = 10
  prefix = "fq/j/"
  count = 4
}
