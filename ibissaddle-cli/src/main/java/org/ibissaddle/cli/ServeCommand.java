package org.ibissaddle.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.daemon.Daemon;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.settings.SettingsException;
import org.ibissaddle.daemon.settings.SettingsReader;

/** Runs an entry instance until it receives a stop signal. */
final class ServeCommand implements Command {
    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Runs an entry instance; SIGTERM drains it, a second signal terminates it immediately.";
    }

    @Override
    public Options options() {
        return SettingsOption.options();
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws CommandFailedException {
        Settings settings = readSettings(SettingsOption.file(line));
        Logging.configure(settings.logLevel());
        try (Daemon daemon = Daemon.start(settings, System::currentTimeMillis)) {
            ShutdownSignals signals = new ShutdownSignals();
            signals.onRepeat(ShutdownSignals::terminate);
            signals.await();
            daemon.drainUntilIdle();
            return 0;
        } catch (IOException e) {
            throw new CommandFailedException(e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private static Settings readSettings(Path file) throws CommandFailedException {
        try {
            return SettingsReader.read(file);
        } catch (SettingsException e) {
            throw SettingsOption.toFailure(e);
        }
    }
}
