import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the case. */
final class Record {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%8.3f s  %s%n", nowMs() / 1000.0, String.format(Locale.ROOT, format, values));
    }
}
