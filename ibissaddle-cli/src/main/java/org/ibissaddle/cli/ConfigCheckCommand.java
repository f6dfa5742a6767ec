package org.ibissaddle.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.settings.SettingsException;
import org.ibissaddle.daemon.settings.SettingsReader;

/** Validates a settings file and prints every error. */
final class ConfigCheckCommand implements Command {
    @Override
    public String name() {
        return "config check";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Checks a settings file and names every fault.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("expected exactly one FILE");
        }
        String file = line.getArgList().get(0);
        try {
            Settings settings = SettingsReader.read(Path.of(file));
            SettingsReader.warnings(file, settings).forEach(warning -> out.println("warning: " + warning));
            out.println(file + ": ok");
            return 0;
        } catch (SettingsException e) {
            throw new CommandFailedException(describeCount(e) + ":\n" + e.getMessage(), e);
        }
    }

    static String describeCount(SettingsException e) {
        int count = e.errors().size();
        return count == 1 ? "1 fault" : count + " faults";
    }
}
