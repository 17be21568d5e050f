#!/usr/bin/env bash
# Scores sites on the users' bench and compares each day's worth with the last score in the
# journal. Ends with 1 where a rule is broken, a gate is missed, or the mean worth of a
# site's standard days falls by more than 0.03.
#
#   deploy/regress.sh BENCH [FLAG...] SITE...     as in: deploy/regress.sh fleetbench --small large/site.toml
set -euo pipefail
cd "$(dirname "$0")/.."

[ $# -ge 2 ] || { sed -n '2,6s/^# \{0,1\}//p' "$0" >&2; exit 2; }
bench=$1
shift
flags=()
sites=()
for arg; do
  case $arg in
    -*) flags+=("$arg") ;;
    *) sites+=("$arg") ;;
  esac
done

# newest SITE prints the newest entry of the journal that scores a site with these flags.
newest() {
  local entry
  for entry in $(printf '%s\n' journal/*.json | sort -r); do
    jq -e --arg site "$1" --arg flags "${flags[*]:-}" '
      .cmd == "score" and .site == $site and .ok
      and (([.argv[] | select(. == "--small" or . == "--quick")] | join(" ")) == $flags)' "$entry" >/dev/null || continue
    echo "$entry"
    return
  done
}

status=0
for site in "${sites[@]}"; do
  name=$(basename "$site" .toml)
  before=$(newest "$name")
  "$bench" score "$site" "${flags[@]}" --why "regression: $name" >&2 || status=1
  after=$(newest "$name")
  if [ "$after" = "$before" ]; then
    echo "$name: no score"
    status=1
    continue
  fi
  jq -r -n --arg name "$name" --slurpfile was "${before:-/dev/null}" --slurpfile now "$after" '
    def worth: [.days[] | select(.name | startswith("fresh-") | not)] | map({key: .name, value: .G}) | from_entries;
    def mean: [.[]] | add / length;
    ($was[0] // {days: []} | worth) as $old | ($now[0] | worth) as $new
    | ($new | to_entries[] | "\($name)  \(.key)  \($old[.key] // "-") -> \(.value)"),
      ($now[0].days[] | select((.rules | length) > 0 or (.gate | not)) | "\($name)  \(.name)  FAILED: \(.rules | keys | join(" ")) \(.short | join("; "))"),
      if ($old | length) > 0 and ($new | mean) < ($old | mean) - 0.03 then "\($name)  FAILED: mean worth \($old | mean) -> \($new | mean)" else empty end' >"${TMPDIR:-/tmp}/regress.$$"
  cat "${TMPDIR:-/tmp}/regress.$$"
  if grep -q FAILED "${TMPDIR:-/tmp}/regress.$$"; then
    status=1
  fi
  rm -f "${TMPDIR:-/tmp}/regress.$$"
done
exit $status
