package org.ibissaddle.cli.status;

import java.util.ArrayList;
import java.util.List;

/** Plain-text table whose columns are as wide as their widest cell. */
final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<Cell>> rows = new ArrayList<>();

    /**
     * A table cell.
     *
     * @param text content
     * @param style style used when colours are enabled
     */
    record Cell(String text, CellStyle style) {
        static Cell of(String text) {
            return new Cell(text, CellStyle.PLAIN);
        }
    }

    /** Cell styles and their ANSI escape sequences. */
    enum CellStyle {
        PLAIN(""),
        OK("\u001b[32m"),
        WARNING("\u001b[33m"),
        ERROR("\u001b[31m"),
        HEADING("\u001b[1m");

        private final String escapeSequence;

        CellStyle(String escapeSequence) {
            this.escapeSequence = escapeSequence;
        }
    }

    TextTable heading(String... names) {
        List<Cell> row = new ArrayList<>();
        for (String name : names) {
            row.add(new Cell(name, CellStyle.HEADING));
        }
        rows.add(row);
        return this;
    }

    void row(Cell... cells) {
        rows.add(List.of(cells));
    }

    String render(boolean colours) {
        StringBuilder text = new StringBuilder();
        for (List<Cell> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                String padding = i == row.size() - 1
                        ? ""
                        : " ".repeat(width(i) - row.get(i).text().length()) + COLUMN_SEPARATOR;
                line.append(coloured(row.get(i), colours)).append(padding);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        int width = 0;
        for (List<Cell> row : rows) {
            width = Math.max(width, column < row.size() ? row.get(column).text().length() : 0);
        }
        return width;
    }

    private static String coloured(Cell cell, boolean colours) {
        if (!colours || cell.style() == CellStyle.PLAIN) {
            return cell.text();
        }
        return cell.style().escapeSequence + cell.text() + "\u001b[0m";
    }
}
