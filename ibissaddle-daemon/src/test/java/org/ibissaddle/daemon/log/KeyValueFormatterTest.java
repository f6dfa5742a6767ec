package org.ibissaddle.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class KeyValueFormatterTest {
    private final List<String> lines = new ArrayList<>();
    private final Logger root = Logger.getLogger("");
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord logRecord) {
            logRecord.setInstant(Instant.EPOCH);
            lines.add(new KeyValueFormatter().format(logRecord));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void addHandler() {
        root.addHandler(handler);
    }

    @AfterEach
    void removeHandler() {
        root.removeHandler(handler);
    }

    @Nested
    class Formatting {
        @Test
        void shouldFormatEventAsKeyValuePairs() {
            new EventLog("ub-1-a").info("started", "note", 7, "reason", "two words", "empty", "");

            assertThat(lines)
                    .containsExactly("at=1970-01-01T00:00:00Z level=info event=started instance=ub-1-a note=7 "
                            + "reason=\"two words\" empty=\"\"\n");
        }

        @Test
        void shouldEscapeLineBreaksInValues() {
            new EventLog("ub-1-a").warning("note-refused", "cause", "first\nsecond \"quoted\"");

            assertThat(lines).singleElement().asString().endsWith("cause=\"first\\nsecond \\\"quoted\\\"\"\n");
        }

        @Test
        void shouldFormatLibraryRecordsAsKeyValuePairs() {
            LoggerFactory.getLogger("some.library").warn("lost\nline {}", 3, new IllegalStateException("why"));

            assertThat(lines)
                    .containsExactly("at=1970-01-01T00:00:00Z level=warning event=library logger=some.library "
                            + "message=\"lost\\nline 3\" cause=\"java.lang.IllegalStateException: why\"\n");
        }
    }

    @Nested
    class Levels {
        @Test
        void shouldOmitEventsBelowConfiguredLevel() {
            Level before = root.getLevel();
            root.setLevel(Level.WARNING);
            try {
                new EventLog("ub-1-a").info("started");
            } finally {
                root.setLevel(before);
            }

            assertThat(lines).isEmpty();
        }
    }

    @Nested
    class LogManagerReset {
        @Test
        void shouldKeepHandlersOnReset() {
            NonResettingLogManager manager = new NonResettingLogManager();
            Logger logger = Logger.getLogger("kept-to-the-end");
            logger.addHandler(handler);
            manager.addLogger(logger);
            manager.reset();

            assertThat(logger.getHandlers()).containsExactly(handler);
        }
    }
}
