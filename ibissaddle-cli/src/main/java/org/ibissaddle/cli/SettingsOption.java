package org.ibissaddle.cli;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibissaddle.daemon.settings.SettingsException;

/** The option of commands that run an instance: the file with its settings. */
final class SettingsOption {
    private static final String NAME = "config";

    private SettingsOption() {}

    static Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(NAME)
                        .hasArg()
                        .argName("FILE")
                        .required()
                        .desc("settings in INI")
                        .get());
    }

    static Path file(CommandLine line) {
        return Path.of(line.getOptionValue(NAME));
    }

    static CommandFailedException failed(SettingsException reason) {
        return new CommandFailedException(ConfigCheckCommand.count(reason) + ":\n" + reason.getMessage(), reason);
    }
}
