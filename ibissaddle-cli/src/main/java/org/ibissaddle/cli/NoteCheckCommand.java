package org.ibissaddle.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.ReleaseNote;

/** Checks a release note and prints every fault. */
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
        return new Options();
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("give exactly one FILE");
        }
        String file = line.getArgList().get(0);
        try {
            ReleaseNote note = NoteReader.read(Files.readString(Path.of(file), StandardCharsets.UTF_8));
            out.println(file + ": ok, note " + note.number() + ", digest " + note.digest());
            return 0;
        } catch (NoteRejectedException e) {
            throw new CommandFailedException(e.getMessage(), e);
        } catch (IOException e) {
            throw new CommandFailedException(file + " cannot be read: " + e.getMessage(), e);
        }
    }
}
