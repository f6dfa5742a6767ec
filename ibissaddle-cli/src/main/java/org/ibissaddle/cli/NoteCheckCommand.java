package org.ibissaddle.cli;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.note.ReleaseNote;

/** Validates a release note and prints every error. */
final class NoteCheckCommand implements Command {
    @Override
    public String name() {
        return "note check";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Checks a release note and names every fault.";
    }

    @Override
    public Options options() {
        return new Options().addOption(NoteFiles.baseOption());
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        String file = NoteFiles.onlyFile(line);
        ReleaseNote note = NoteFiles.read(file, line);
        out.println(file + ": ok, note " + note.number() + ", digest " + note.digest());
        return 0;
    }
}
