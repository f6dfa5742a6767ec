package org.ibissaddle.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.daemon.gateway.Gateway;
import org.ibissaddle.daemon.gateway.GatewaySettings;
import org.ibissaddle.daemon.gateway.GatewaySettingsReader;
import org.ibissaddle.daemon.settings.SettingsException;

/** Runs an entry instance on the users' platform until it receives a stop signal. */
final class GatewayCommand implements Command {
    /** Interval for polling the settings file, which may change without a signal. */
    private static final long SETTINGS_POLL_MS = 2_000;

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
        return "Runs an entry instance on the platform; SIGTERM drains it, further signals do not end it earlier.";
    }

    @Override
    public Options options() {
        return SettingsOption.options();
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws CommandFailedException {
        Path file = SettingsOption.file(line);
        OutputStream output = new FileOutputStream(FileDescriptor.out);
        ShutdownSignals signals = new ShutdownSignals();
        // The settings are read below, and a change since then is noticed by the time of the file.
        AtomicReference<Runnable> reload = new AtomicReference<>(() -> {});
        signals.onReload(() -> reload.get().run());
        long loadedModificationMs = file.toFile().lastModified();
        try (Gateway gateway =
                Gateway.start(readSettings(file), () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), output)) {
            signals.onRepeat(gateway::logRepeatedStop);
            reload.set(() -> reload(gateway, file));
            while (!signals.await(SETTINGS_POLL_MS)) {
                long modificationMs = file.toFile().lastModified();
                if (modificationMs != loadedModificationMs) {
                    loadedModificationMs = modificationMs;
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
            gateway.logReloadFailure(e);
        }
    }

    private static GatewaySettings readSettings(Path file) throws CommandFailedException {
        try {
            return GatewaySettingsReader.read(file);
        } catch (SettingsException e) {
            throw SettingsOption.toFailure(e);
        }
    }
}
