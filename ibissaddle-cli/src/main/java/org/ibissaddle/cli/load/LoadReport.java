package org.ibissaddle.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** Renders the results of a load test as plain text and as a self-contained HTML page. */
final class LoadReport {
    private static final double MICROS_PER_MS = 1000.0;
    private static final int PERCENT = 100;
    private static final double P50 = 50;
    private static final double P90 = 90;
    private static final double P99 = 99;
    private static final String STYLE = "body{font:14px/1.5 sans-serif;margin:2em auto;max-width:900px;color:#222}"
            + "table{border-collapse:collapse;margin:0.5em 0}td,th{padding:2px 14px 2px 0;text-align:right}"
            + "td:first-child,th:first-child{text-align:left}th{border-bottom:1px solid #999}svg text{font:11px sans-serif}";

    private final LoadPlan plan;
    private final LoadStatistics statistics;
    private final CrossRegionStats crossRegion;

    LoadReport(LoadPlan plan, LoadStatistics statistics, CrossRegionStats crossRegion) {
        this.plan = plan;
        this.statistics = statistics;
        this.crossRegion = crossRegion;
    }

    String text() {
        StringBuilder text = new StringBuilder(summary()).append('\n');
        text.append(String.format(
                Locale.ROOT, "%-24s %8s %10s %10s %10s%n", "total time, ms", "count", "p50", "p90", "p99"));
        statistics
                .totalTimeByKind()
                .forEach((kind, histogram) -> text.append(row("%-24s %8d %10.1f %10.1f %10.1f%n", kind, histogram)));
        text.append(row("%-24s %8d %10.1f %10.1f %10.1f%n", "first chunk, all", statistics.firstChunk()));
        text.append(percentileComparison()).append('\n');
        text.append(String.format(
                Locale.ROOT,
                "sent to another region: %d of %d (%.2f %%)%n",
                crossRegion.crossRegion(),
                crossRegion.total(),
                crossRegion.share() * PERCENT));
        text.append(refusals());
        return text.toString();
    }

    private String summary() {
        return String.format(
                Locale.ROOT,
                "%d started in %d s (mean %.1f/s, seed %d), %d answered completely, %d refused or failed",
                statistics.startedCount(),
                plan.seconds(),
                plan.perSecond(),
                plan.seed(),
                statistics.answeredCount(),
                statistics.refusedCount());
    }

    /** Compares the mean of the per-instance percentiles, which is not a percentile, with that of all samples. */
    private String percentileComparison() {
        double mean = statistics.firstChunkByInstance().values().stream()
                .mapToDouble(histogram -> histogram.getValueAtPercentile(P99))
                .average()
                .orElse(0);
        double merged = statistics.firstChunk().getValueAtPercentile(P99);
        return String.format(
                Locale.ROOT,
                "first chunk p99 over all instances: %.1f ms from merged histograms; a mean of %d percentiles would say"
                        + " %.1f ms (%+.1f %%)",
                merged / MICROS_PER_MS,
                statistics.firstChunkByInstance().size(),
                mean / MICROS_PER_MS,
                merged == 0 ? 0 : (mean - merged) / merged * PERCENT);
    }

    private String refusals() {
        StringBuilder text = new StringBuilder();
        statistics
                .refusals()
                .forEach((type, count) -> text.append(String.format(Locale.ROOT, "%-40s %8d%n", type, count)));
        return text.isEmpty() ? "nothing refused\n" : "refusals by type (ran)\n" + text;
    }

    private static String row(String format, String name, Histogram histogram) {
        return String.format(
                Locale.ROOT,
                format,
                name,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(P50) / MICROS_PER_MS,
                histogram.getValueAtPercentile(P90) / MICROS_PER_MS,
                histogram.getValueAtPercentile(P99) / MICROS_PER_MS);
    }

    String html() {
        StringBuilder html = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">")
                .append("<title>ibissaddle load</title><style>")
                .append(STYLE)
                .append("</style><h1>ibissaddle load</h1><p>")
                .append(summary())
                .append("</p><p>Latencies are measured from the scheduled start of each request.</p>");
        html.append("<h2>Time to first chunk</h2>").append(firstChunkChart());
        html.append("<h2>Requests per second</h2>").append(requestChart());
        html.append("<h2>Total response time</h2>").append(responseTable());
        html.append("<p>").append(percentileComparison()).append("</p><h2>Sent to another region</h2><p>");
        html.append(String.format(
                Locale.ROOT,
                "%d of %d answers (%.2f %%)</p>",
                crossRegion.crossRegion(),
                crossRegion.total(),
                crossRegion.share() * PERCENT));
        html.append("<h2>Refusals by type</h2>").append(refusalTable());
        return html.append("</html>\n").toString();
    }

    private String firstChunkChart() {
        return new LineChart("ms")
                .addLine("p50", series(interval -> ms(interval, P50)))
                .addLine("p90", series(interval -> ms(interval, P90)))
                .addLine("p99", series(interval -> ms(interval, P99)))
                .svg();
    }

    private String requestChart() {
        return new LineChart("")
                .addLine("started", rates(LoadStatistics.Interval::started))
                .addLine("answered", rates(LoadStatistics.Interval::answered))
                .addLine("refused", rates(LoadStatistics.Interval::refused))
                .svg();
    }

    private static double ms(LoadStatistics.Interval interval, double percentile) {
        return interval.firstChunkMicros().getValueAtPercentile(percentile) / MICROS_PER_MS;
    }

    private List<Double> series(ToDoubleFunction<LoadStatistics.Interval> value) {
        return statistics.intervals().stream().map(value::applyAsDouble).toList();
    }

    private List<Double> rates(ToDoubleFunction<LoadStatistics.Interval> total) {
        List<Double> rates = new ArrayList<>();
        double previous = 0;
        for (double current : series(total)) {
            rates.add(current - previous);
            previous = current;
        }
        return rates;
    }

    private String responseTable() {
        StringBuilder rows = new StringBuilder(
                "<table><tr><th>kind</th><th>count</th><th>p50 ms</th><th>p90 ms</th><th>p99 ms</th></tr>");
        String format = "<tr><td>%s</td><td>%d</td><td>%.1f</td><td>%.1f</td><td>%.1f</td></tr>";
        statistics.totalTimeByKind().forEach((kind, histogram) -> rows.append(row(format, kind, histogram)));
        return rows.append("</table>").toString();
    }

    private String refusalTable() {
        Map<String, Long> counts = statistics.refusals();
        if (counts.isEmpty()) {
            return "<p>none</p>";
        }
        StringBuilder rows = new StringBuilder("<table><tr><th>type (ran)</th><th>count</th></tr>");
        counts.forEach((type, count) -> rows.append("<tr><td>")
                .append(type)
                .append("</td><td>")
                .append(count)
                .append("</td></tr>"));
        return rows.append("</table>").toString();
    }
}
