# Fits value = base + slope * size to rows "slope,size,unit,value" by weighted least squares. Prints base, slope and
# the largest relative error for each slope. With fewer than four points it prints the first value.
BEGIN { FS = ","; OFS = "," }
NR > 1 && $1 != "slope" {
    name = $1; if (!(name in unit)) { order[++count] = name; unit[name] = $3 }
    i = ++points[name]; x[name, i] = $2; y[name, i] = $4
}
END {
    print "slope,unit,base,per_item,points,largest_error_percent"
    for (k = 1; k <= count; ++k) {
        name = order[k]; n = points[name]
        if (n < 4) { print name, unit[name], y[name, 1], 0, n, 0; continue }
        # Minimizes relative errors, so each point is weighted by the inverse square of its value.
        sw = swx = swy = swxx = swxy = 0
        for (i = 1; i <= n; ++i) {
            w = 1 / (y[name, i] * y[name, i])
            sw += w; swx += w * x[name, i]; swy += w * y[name, i]
            swxx += w * x[name, i] ^ 2; swxy += w * x[name, i] * y[name, i]
        }
        b = (sw * swxy - swx * swy) / (sw * swxx - swx * swx); a = (swy - b * swx) / sw
        max_error = 0
        for (i = 1; i <= n; ++i) {
            relative_error = (a + b * x[name, i] - y[name, i]) / y[name, i]; if (relative_error < 0) relative_error = -relative_error
            if (relative_error > max_error) max_error = relative_error
        }
        printf "%s,%s,%.4g,%.4g,%d,%.0f\n", name, unit[name], a, b, n, 100 * max_error
    }
}
