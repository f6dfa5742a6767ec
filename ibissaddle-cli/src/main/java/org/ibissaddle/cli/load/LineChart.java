package org.ibissaddle.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Renders per-second series as an SVG line chart. */
final class LineChart {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 240;
    private static final int LEFT = 64;
    private static final int BOTTOM = 30;
    private static final int TOP = 26;
    private static final int RIGHT = 10;
    private static final int GRID_LINES = 4;
    private static final int LEGEND_STEP = 150;
    private static final List<String> COLOURS = List.of("#1f5fa8", "#c2541a", "#3b7d3b", "#7a3f9d", "#666666");

    private final String unit;
    private final List<Line> lines = new ArrayList<>();

    private record Line(String name, List<Double> values) {}

    LineChart(String unit) {
        this.unit = unit;
    }

    LineChart addLine(String name, List<Double> values) {
        lines.add(new Line(name, List.copyOf(values)));
        return this;
    }

    String svg() {
        StringBuilder svg = new StringBuilder(String.format(
                Locale.ROOT,
                "<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">",
                WIDTH,
                HEIGHT,
                WIDTH,
                HEIGHT));
        double maxValue = maxValue();
        for (int i = 0; i <= GRID_LINES; i++) {
            double value = maxValue * i / GRID_LINES;
            svg.append(String.format(
                    Locale.ROOT,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>"
                            + "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%.3g %s</text>",
                    LEFT,
                    WIDTH - RIGHT,
                    y(value, maxValue),
                    y(value, maxValue),
                    LEFT - 4,
                    y(value, maxValue) + 4,
                    value,
                    unit));
        }
        for (int i = 0; i < lines.size(); i++) {
            append(svg, lines.get(i), COLOURS.get(i % COLOURS.size()), i, maxValue);
        }
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\">0 s</text><text x=\"%d\" y=\"%d\" text-anchor=\"end\">%d s</text>",
                LEFT,
                HEIGHT - 8,
                WIDTH - RIGHT,
                HEIGHT - 8,
                durationSeconds()));
        return svg.append("</svg>").toString();
    }

    private void append(StringBuilder svg, Line line, String colour, int index, double maxValue) {
        svg.append("<polyline fill=\"none\" stroke-width=\"1.6\" stroke=\"")
                .append(colour)
                .append("\" points=\"");
        int last = Math.max(1, line.values().size() - 1);
        for (int i = 0; i < line.values().size(); i++) {
            double x = LEFT + (double) i / last * (WIDTH - LEFT - RIGHT);
            svg.append(
                    String.format(Locale.ROOT, "%.1f,%.1f ", x, y(line.values().get(i), maxValue)));
        }
        svg.append(String.format(
                Locale.ROOT,
                "\"/><text x=\"%d\" y=\"16\" fill=\"%s\">&#9632; %s</text>",
                LEFT + index * LEGEND_STEP,
                colour,
                line.name()));
    }

    private static double y(double value, double maxValue) {
        return HEIGHT - BOTTOM - value / maxValue * (HEIGHT - BOTTOM - TOP);
    }

    private double maxValue() {
        double maxValue = 0;
        for (Line line : lines) {
            for (double value : line.values()) {
                maxValue = Math.max(maxValue, value);
            }
        }
        return maxValue == 0 ? 1 : maxValue;
    }

    private int durationSeconds() {
        return lines.stream().mapToInt(line -> line.values().size()).max().orElse(0);
    }
}
