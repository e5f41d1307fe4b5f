# An operator's file with a campaign (`finchquay --operator deploy/maintenance.hcl`):
# names of teams, sites and types are those of the platform's settings. See
# docs/maintenance.md.
#
# budget "switch-team" {
#   away  = 2
#   share = 0.02
# }
#
# campaign "2026-12-hall-a" {
#   site  = "hall-a"
#   first = 1
#   wave  = 8
# }
