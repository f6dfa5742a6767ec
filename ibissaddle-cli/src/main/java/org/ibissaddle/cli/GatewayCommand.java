package org.ibissaddle.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.daemon.gateway.Gateway;
import org.ibissaddle.daemon.gateway.GatewaySettings;
import org.ibissaddle.daemon.gateway.GatewaySettingsReader;
import org.ibissaddle.daemon.settings.SettingsException;

/** Runs an entry instance on the users' platform until it is told to leave. */
final class GatewayCommand implements Command {
    /** How often the settings file is looked at, which may change without a signal, milliseconds. */
    private static final long LOOK_EVERY_MS = 2_000;

    @Override
    public String name() {
        return "gateway";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Runs an entry instance on the platform; SIGTERM drains it, a second signal ends it at once.";
    }

    @Override
    public Options options() {
        return SettingsOption.options();
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws CommandFailedException {
        Path file = SettingsOption.file(line);
        OutputStream output = new FileOutputStream(FileDescriptor.out);
        try (Gateway gateway =
                Gateway.start(settings(file), () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), output)) {
            StopSignals signals = new StopSignals();
            signals.onReload(() -> reload(gateway, file));
            long readAtMs = file.toFile().lastModified();
            while (!signals.await(LOOK_EVERY_MS)) {
                long changedAtMs = file.toFile().lastModified();
                if (changedAtMs != readAtMs) {
                    readAtMs = changedAtMs;
                    reload(gateway, file);
                }
            }
            gateway.drain();
            return 0;
        } catch (IOException e) {
            throw new CommandFailedException(e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private static void reload(Gateway gateway, Path file) {
        try {
            gateway.reload(GatewaySettingsReader.read(file));
        } catch (SettingsException e) {
            gateway.reloadFailed(e);
        }
    }

    private static GatewaySettings settings(Path file) throws CommandFailedException {
        try {
            return GatewaySettingsReader.read(file);
        } catch (SettingsException e) {
            throw SettingsOption.failed(e);
        }
    }
}
