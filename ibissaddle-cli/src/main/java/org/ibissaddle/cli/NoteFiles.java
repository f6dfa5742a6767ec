package org.ibissaddle.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.ReleaseNote;

/** Reads release notes from files. */
final class NoteFiles {
    private static final String BASE = "base";

    private NoteFiles() {}

    static Option baseOption() {
        return Option.builder()
                .longOpt(BASE)
                .hasArg()
                .argName("FILE")
                .desc("complete note that is the base of a partial FILE")
                .get();
    }

    /** Reads a complete note, or a partial note whose base is given by the options. */
    static ReleaseNote read(String file, CommandLine line) throws CommandFailedException {
        Optional<ReleaseNote> base = Optional.empty();
        if (line.hasOption(BASE)) {
            base = Optional.of(read(line.getOptionValue(BASE), Optional.empty()));
        }
        return read(file, base);
    }

    /** Reads a note, resolving a partial note against {@code base}. */
    static ReleaseNote read(String file, Optional<ReleaseNote> base) throws CommandFailedException {
        try {
            String text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
            return NoteReader.read(text, number -> base.filter(note -> note.number() == number));
        } catch (NoteRejectedException e) {
            throw new CommandFailedException(file + ": " + e.getMessage(), e);
        } catch (IOException e) {
            throw new CommandFailedException(file + " cannot be read: " + e.getMessage(), e);
        }
    }

    /** Returns the only positional argument. */
    static String onlyFile(CommandLine line) throws UsageException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("expected exactly one FILE");
        }
        return line.getArgList().get(0);
    }
}
