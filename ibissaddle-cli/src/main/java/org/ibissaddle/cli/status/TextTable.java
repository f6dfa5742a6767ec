package org.ibissaddle.cli.status;

import java.util.ArrayList;
import java.util.List;

/** Columns of text, each as wide as its widest cell. */
final class TextTable {
    private static final String GAP = "  ";

    private final List<List<Cell>> rows = new ArrayList<>();

    /**
     * A cell.
     *
     * @param text what it shows
     * @param tone its colour on a terminal
     */
    record Cell(String text, Tone tone) {
        static Cell of(String text) {
            return new Cell(text, Tone.PLAIN);
        }
    }

    /** Colours of cells. */
    enum Tone {
        PLAIN(""),
        GOOD("\u001b[32m"),
        DOUBT("\u001b[33m"),
        BAD("\u001b[31m"),
        HEADING("\u001b[1m");

        private final String code;

        Tone(String code) {
            this.code = code;
        }
    }

    TextTable heading(String... names) {
        List<Cell> row = new ArrayList<>();
        for (String name : names) {
            row.add(new Cell(name, Tone.HEADING));
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
                        : " ".repeat(width(i) - row.get(i).text().length()) + GAP;
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
        if (!colours || cell.tone() == Tone.PLAIN) {
            return cell.text();
        }
        return cell.tone().code + cell.text() + "\u001b[0m";
    }
}
