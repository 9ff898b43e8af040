# Checks runs against the keys of their callers.  Files: revoked, "key time_ms";
# answers, "id method status echoed-id key sent_ms"; runs, "id method target
# service team authorization time_ms".
FILENAME ~ /\/revoked$/ { revoked[$1] = $2; next }
FILENAME ~ /\/answers$/ {
	key[$1] = $5
	sent[$1] = $6
	if ($3 == 401 && !($5 in revoked))
		violation($1 " was not known by its key")
	refused += $3 == 429
	next
}
$1 in key {
	team = key[$1]
	sub(/^key-/, "", team)
	sub(/-[0-9]+$/, "", team)
	if ($5 != team)
		violation($1 " of " team " ran as " $5)
	if ($6 != "-")
		violation("the key of " $1 " reached an endpoint")
	if ((key[$1] in revoked) && sent[$1] > revoked[key[$1]] + revocation)
		violation($1 " ran " sent[$1] - revoked[key[$1]] " ms after its key was taken away")
	if (team == "hot" && !($1 in counted)) {
		counted[$1] = 1
		hot[++hots] = $7
	}
}
# At most 20, and a quarter more than the cap, in any five seconds.
BEGIN { WINDOW_MS = 5000; OVERSHOOT = 1.25; SLACK = 20 }
function violation(text) { print "VIOLATION " text; failed = 1 }
END {
	bound = (rate * WINDOW_MS / 1000 + rate) * OVERSHOOT + SLACK
	n = asort_times()
	most = 0
	first = 1
	for (i = 1; i <= n; i++) {
		while (hot[i] - hot[first] >= WINDOW_MS)
			first++
		if (i - first + 1 > most)
			most = i - first + 1
	}
	print hots + 0 " runs of the capped team, " most " at most in 5 s, " refused + 0 " refused above a cap"
	if (most > bound)
		violation(most " runs of a team in 5 s, " bound " allowed")
	exit failed
}
# The runs of each endpoint are in order; merges them by insertion.
function asort_times(    i, j, v) {
	for (i = 2; i <= hots; i++) {
		v = hot[i]
		for (j = i - 1; j >= 1 && hot[j] > v; j--)
			hot[j + 1] = hot[j]
		hot[j + 1] = v
	}
	return hots
}
