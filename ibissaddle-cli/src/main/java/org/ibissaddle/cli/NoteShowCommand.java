package org.ibissaddle.cli;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.note.NoteWriter;
import org.ibissaddle.note.ReleaseNote;

/** Prints the complete state that a release note declares. */
final class NoteShowCommand implements Command {
    @Override
    public String name() {
        return "note show";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Prints the complete state that a note declares, in the canonical form used for its digest.";
    }

    @Override
    public Options options() {
        return new Options().addOption(NoteFiles.baseOption());
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        ReleaseNote note = NoteFiles.read(NoteFiles.onlyFile(line), line);
        out.println("; note " + note.number() + ", digest " + note.digest());
        out.print(NoteWriter.write(note));
        return 0;
    }
}
