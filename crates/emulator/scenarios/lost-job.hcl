# An acknowledged write of a job's record is lost, several times.
name = "lost-job"
base = "site.hcl"

fault "lose" {
  kind = "write_lost"
  at_s = 10
  prefix = "fq/j/"
  count = 4
}
