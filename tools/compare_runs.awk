# Compares the outcomes that callers got with the runs that upstreams counted.
# Input: the runs file ("key count"), then the records file ("key outcome").
# Exits 1 when a key ran twice, ran after "not-run", or did not run after
# "ran".  With lost=1 upstreams have lost counts, so "ran" is not checked.
FNR == NR { runs[$1] += $2; next }
{
	outcome[$1] = $2
	if ($2 == "not-run")
		not_run[$1] = 1
	if ($2 == "ran")
		ran[$1] = 1
}
END {
	for (key in runs)
		if (runs[key] > 1) {
			twice++
			print "ran " runs[key] " times: " key
		}
	for (key in not_run)
		if (runs[key] > 0) {
			wrong++
			print "reported not-run but ran: " key
		}
	for (key in ran)
		if (runs[key] == 0 && !lost) {
			missing++
			print "reported ran but did not run: " key
		}
	for (key in outcome) {
		keys++
		count[outcome[key]]++
	}
	printf "keys %d ran %d not-run %d refused %d unknown %d lost %d; runs %d, twice %d, wrong not-run %d, missing %d\n", \
		keys, count["ran"], count["not-run"], count["refused"], \
		count["unknown"], count["lost"], length(runs), twice, wrong, missing
	exit twice + wrong + missing > 0
}
