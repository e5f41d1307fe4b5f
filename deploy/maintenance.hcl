# Example of an operator's file with a disruption budget and a maintenance campaign, to be
# used as `finchquay --operator deploy/maintenance.hcl`. Teams and zones (`site`) have the
# names that the platform's settings give them, machine types (`build`) those of the cloud's
# catalog. See docs/maintenance.md.
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
