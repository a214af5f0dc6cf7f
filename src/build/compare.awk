# Reads the reports of days that were played before and after, and prints what changed. Called by compare.sh; the name of
# each report is DEPLOYMENT.DAY.SEED.SIDE.

FNR == 1 {
    count = split(FILENAME, path, "/")
    count = split(path[count], part, ".")
    side = part[count]
    play = part[count - 2] "." part[count - 1]
    deployment = part[1]
    section = ""
}

/^worth [0-9.-]+ = / { worth[play, side] = $2; plays[play] = 1 }

/^class / { section = "classes"; next }
/^$/ { section = "" }
section == "classes" {
    classes[$1] = 1
    p50[$1, side] += $(NF - 1)
    p99[$1, side] += $NF
    class_worth[$1, side] += $(NF - 2)
}

$1 ~ /^(quiet|trouble|scale)-/ && NF > 6 && $2 ~ /\// { served[play, side] = $5; refused[play, side] = $6 }

/^  -+[0-9.]+ +-?[0-9.]+ / {
    name = $3
    for (field = 4; field <= NF; field++) {
        name = name " " $field
    }
    sub(/^-+/, "", $1)
    price[name, side] += $1
    prices[name] = 1
}

END {
    for (play in plays) {
        if ((play, "before") in worth && (play, "after") in worth) {
            whole++
            change = worth[play, "after"] - worth[play, "before"]
            sum_before += worth[play, "before"]
            sum_after += worth[play, "after"]
            squares += change * change
            if (whole == 1 || worth[play, "before"] < worst_before) { worst_before = worth[play, "before"] }
            if (whole == 1 || worth[play, "after"] < worst_after) { worst_after = worth[play, "after"] }
            printf "%s\t%s\tworth %.3f to %.3f\tserved %.3f to %.3f\trefused %.3f to %.3f\n", deployment, play,
                worth[play, "before"], worth[play, "after"], served[play, "before"], served[play, "after"],
                refused[play, "before"], refused[play, "after"]
        } else {
            printf "%s\t%s\tnot whole: before %s, after %s\n", deployment, play,
                worth[play, "before"] == "" ? "none" : worth[play, "before"],
                worth[play, "after"] == "" ? "none" : worth[play, "after"]
        }
    }
    if (!whole) {
        printf "%s\tno day was played on both\n", deployment
        exit
    }
    mean = (sum_after - sum_before) / whole
    spread = whole > 1 ? sqrt((squares - whole * mean * mean) / (whole - 1)) : 0
    printf "%s\tmean of %d\tworth %.3f to %.3f\tchange %+.3f, spread %.3f\tworst day %.3f to %.3f\n", deployment, whole,
        sum_before / whole, sum_after / whole, mean, spread, worst_before, worst_after
    for (class in classes) {
        printf "%s\t%s\tworth %.3f to %.3f\tp50 %.0f to %.0f ms\tp99 %.0f to %.0f ms\n", deployment, class,
            class_worth[class, "before"] / whole, class_worth[class, "after"] / whole,
            p50[class, "before"] / whole, p50[class, "after"] / whole,
            p99[class, "before"] / whole, p99[class, "after"] / whole
    }
    for (name in prices) {
        change = (price[name, "after"] - price[name, "before"]) / whole
        if (change > 0.001 || change < -0.001) {
            printf "%s\tprice of %s\t%.4f to %.4f\n", deployment, name, price[name, "before"] / whole,
                price[name, "after"] / whole
        }
    }
}
