package org.ibissaddle.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.note.NoteChange;
import org.ibissaddle.note.NoteDiff;
import org.ibissaddle.note.ReleaseNote;

/** Prints the differences between two release notes. */
final class NoteDiffCommand implements Command {
    private static final int FILES = 2;

    @Override
    public String name() {
        return "note diff";
    }

    @Override
    public String arguments() {
        return "BEFORE AFTER";
    }

    @Override
    public String summary() {
        return "Prints the changes from note BEFORE to note AFTER; AFTER may be a partial note with BEFORE as its base.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        if (line.getArgList().size() != FILES) {
            throw new UsageException("expected exactly two files, BEFORE and AFTER");
        }
        ReleaseNote before = NoteFiles.read(line.getArgList().get(0), Optional.empty());
        ReleaseNote after = NoteFiles.read(line.getArgList().get(1), Optional.of(before));
        out.println("from note " + before.number() + " to note " + after.number());
        if (after.number() <= before.number()) {
            out.println("warning: the note number does not increase, so instances will not accept this note");
        }
        List<NoteChange> changes = NoteDiff.between(before, after);
        changes.forEach(change -> out.println(change.message()));
        if (changes.isEmpty()) {
            out.println("no changes");
        }
        return 0;
    }
}
