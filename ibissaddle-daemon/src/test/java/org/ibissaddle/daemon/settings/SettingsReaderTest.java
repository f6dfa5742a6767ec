package org.ibissaddle.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.logging.Level;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private static final String VALID = """
            ; a comment
            [instance]
            name = ub-1-a
            region = Ulaanbaatar
            zone = ub-1
            caller-address = 127.0.0.1:8100
            control-address = 127.0.0.1:8101
            [platform]
            addresses = 127.0.0.1:8090, 127.0.0.2:8090
            [security]
            deployment-key = 0123456789abcdef
            [log]
            level = debug
            """;

    private static List<SettingsError> readErrors(String text) {
        SettingsException thrown =
                catchThrowableOfType(SettingsException.class, () -> SettingsReader.read("x.ini", text));
        return thrown == null ? List.of() : thrown.errors();
    }

    private static void assertSingleError(String text, String section, String key, String problem, String allowed) {
        assertThat(readErrors(text)).singleElement().satisfies(error -> {
            assertThat(error.file()).isEqualTo("x.ini");
            assertThat(error.section()).isEqualTo(section);
            assertThat(error.key()).isEqualTo(key);
            assertThat(error.problem()).contains(problem);
            assertThat(error.allowed()).contains(allowed);
        });
    }

    @Nested
    class ValidFiles {
        @Test
        void shouldReadEveryKey() throws SettingsException {
            Settings settings = SettingsReader.read("x.ini", VALID);

            assertThat(settings.instance().name()).isEqualTo("ub-1-a");
            assertThat(settings.callerAddress()).isEqualTo(new Address("127.0.0.1", 8100));
            assertThat(settings.platform()).hasSize(2);
            assertThat(settings.limits().maxBodyBytes()).isEqualTo(4 * 1024 * 1024);
            assertThat(settings.logLevel()).isEqualTo(Level.FINE);
            assertThat(SettingsReader.warnings("x.ini", settings)).isEmpty();
        }

        @Test
        void shouldWarnAboutExampleDeploymentKey() throws SettingsException {
            Settings settings =
                    SettingsReader.read("x.ini", VALID.replace("0123456789abcdef", "replace-this-with-a-secret"));

            assertThat(SettingsReader.warnings("x.ini", settings))
                    .singleElement()
                    .satisfies(warning -> assertThat(warning.key()).isEqualTo("deployment-key"));
        }

        @Test
        void shouldNotExposeDeploymentKeyInToString() throws SettingsException {
            assertThat(SettingsReader.read("x.ini", VALID).toString()).doesNotContain("0123456789abcdef");
        }
    }

    @Nested
    class InvalidFiles {
        @Test
        void shouldReportAllErrorsTogether() {
            String text = VALID.replace("127.0.0.1:8100", "gateway.example:8100")
                            .replace("zone = ub-1\n", "")
                            .replace("level = debug", "level = loud")
                            .replace("[platform]", "[platfrom]")
                    + "[limits]\nmax-body-bytes = 4MB\n";

            assertThat(readErrors(text))
                    .extracting(error -> error.section() + "/" + error.key())
                    .contains(
                            "instance/caller-address",
                            "instance/zone",
                            "log/level",
                            "platfrom/",
                            "limits/max-body-bytes");
        }

        @Test
        void shouldRejectUnknownSection() {
            assertSingleError(VALID + "[cache]\nsize = 1\n", "cache", "", "unknown section", "limits");
        }

        @Test
        void shouldRejectUnknownKey() {
            assertSingleError(
                    VALID + "[limits]\nmax-body = 1\n", "limits", "max-body", "unknown key", "max-body-bytes");
        }

        @Test
        void shouldRejectDuplicateKey() {
            assertSingleError(VALID + "level = info\n", "log", "level", "more than once", "once");
        }

        @Test
        void shouldRejectHostName() {
            assertSingleError(
                    VALID.replace("127.0.0.2:8090", "platform:8090"),
                    "platform",
                    "addresses",
                    "platform:8090",
                    "IP address:port");
        }

        @Test
        void shouldRejectMissingKey() {
            assertSingleError(VALID.replace("name = ub-1-a", ""), "instance", "name", "missing", "a name");
        }

        @Test
        void shouldRejectMissingPlatformAddresses() {
            assertSingleError(
                    VALID.replaceAll("addresses = .*", ""), "platform", "addresses", "missing", "IP address:port");
        }

        @Test
        void shouldRejectValueOutOfRange() {
            assertSingleError(
                    VALID + "[limits]\ndefault-deadline-ms = 99\n",
                    "limits",
                    "default-deadline-ms",
                    "out of range",
                    "from 100 to 3600000");
        }

        @Test
        void shouldRejectNumberWithUnit() {
            assertSingleError(
                    VALID + "[limits]\nmax-header-bytes = 16KB\n",
                    "limits",
                    "max-header-bytes",
                    "not a whole number",
                    "without unit");
        }

        @Test
        void shouldRejectShortDeploymentKey() {
            assertSingleError(
                    VALID.replace("0123456789abcdef", "short"),
                    "security",
                    "deployment-key",
                    "16",
                    "at least 16 bytes");
        }

        @Test
        void shouldRejectEqualCallerAndControlAddresses() {
            assertSingleError(
                    VALID.replace("127.0.0.1:8101", "127.0.0.1:8100"),
                    "instance",
                    "control-address",
                    "is the same as caller-address",
                    "another port");
        }

        @Test
        void shouldRejectOwnControlAddressAsSeed() {
            assertSingleError(
                    VALID + "[peers]\nseeds = 127.0.0.1:8101\n", "peers", "seeds", "own control address", "other");
        }
    }
}
