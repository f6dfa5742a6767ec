package org.ibissaddle.cli;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibissaddle.daemon.settings.SettingsException;

/** Command-line option for the settings file of commands that run an instance. */
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
                        .desc("settings file in INI format")
                        .get());
    }

    static Path file(CommandLine line) {
        return Path.of(line.getOptionValue(NAME));
    }

    static CommandFailedException toFailure(SettingsException cause) {
        return new CommandFailedException(ConfigCheckCommand.describeCount(cause) + ":\n" + cause.getMessage(), cause);
    }
}
