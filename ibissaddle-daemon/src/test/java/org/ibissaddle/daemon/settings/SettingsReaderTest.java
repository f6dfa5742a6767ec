package org.ibissaddle.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.logging.Level;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private static final String GOOD = """
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

    private static List<SettingsFault> faults(String text) {
        SettingsException thrown =
                catchThrowableOfType(SettingsException.class, () -> SettingsReader.read("x.ini", text));
        return thrown == null ? List.of() : thrown.faults();
    }

    private static void assertOneFault(String text, String section, String key, String problem, String allowed) {
        assertThat(faults(text)).singleElement().satisfies(fault -> {
            assertThat(fault.file()).isEqualTo("x.ini");
            assertThat(fault.section()).isEqualTo(section);
            assertThat(fault.key()).isEqualTo(key);
            assertThat(fault.problem()).contains(problem);
            assertThat(fault.allowed()).contains(allowed);
        });
    }

    @Nested
    class GoodFiles {
        @Test
        void shouldReadEveryKey() throws SettingsException {
            Settings settings = SettingsReader.read("x.ini", GOOD);

            assertThat(settings.instance().name()).isEqualTo("ub-1-a");
            assertThat(settings.callerAddress()).isEqualTo(new Address("127.0.0.1", 8100));
            assertThat(settings.platform()).hasSize(2);
            assertThat(settings.limits().maxBodyBytes()).isEqualTo(4 * 1024 * 1024);
            assertThat(settings.logLevel()).isEqualTo(Level.FINE);
            assertThat(SettingsReader.warnings("x.ini", settings)).isEmpty();
        }

        @Test
        void shouldWarnOfKeyOfTheExamples() throws SettingsException {
            Settings settings =
                    SettingsReader.read("x.ini", GOOD.replace("0123456789abcdef", "replace-this-with-a-secret"));

            assertThat(SettingsReader.warnings("x.ini", settings))
                    .singleElement()
                    .satisfies(warning -> assertThat(warning.key()).isEqualTo("deployment-key"));
        }

        @Test
        void shouldNotShowKey() throws SettingsException {
            assertThat(SettingsReader.read("x.ini", GOOD).toString()).doesNotContain("0123456789abcdef");
        }
    }

    @Nested
    class Faults {
        @Test
        void shouldNameFiveFaultsAtOnce() {
            String text = GOOD.replace("127.0.0.1:8100", "gateway.example:8100")
                            .replace("zone = ub-1\n", "")
                            .replace("level = debug", "level = loud")
                            .replace("[platform]", "[platfrom]")
                    + "[limits]\nmax-body-bytes = 4MB\n";

            assertThat(faults(text))
                    .extracting(fault -> fault.section() + "/" + fault.key())
                    .contains(
                            "instance/caller-address",
                            "instance/zone",
                            "log/level",
                            "platfrom/",
                            "limits/max-body-bytes");
        }

        @Test
        void shouldRefuseUnknownSection() {
            assertOneFault(GOOD + "[cache]\nsize = 1\n", "cache", "", "unknown section", "limits");
        }

        @Test
        void shouldRefuseUnknownKey() {
            assertOneFault(GOOD + "[limits]\nmax-body = 1\n", "limits", "max-body", "unknown key", "max-body-bytes");
        }

        @Test
        void shouldRefuseRepeatedKey() {
            assertOneFault(GOOD + "level = info\n", "log", "level", "more than once", "once");
        }

        @Test
        void shouldRefuseHostName() {
            assertOneFault(
                    GOOD.replace("127.0.0.2:8090", "platform:8090"),
                    "platform",
                    "addresses",
                    "platform:8090",
                    "IP number:port");
        }

        @Test
        void shouldRefuseMissingKey() {
            assertOneFault(GOOD.replace("name = ub-1-a", ""), "instance", "name", "missing", "a name");
        }

        @Test
        void shouldRefuseMissingPlatform() {
            assertOneFault(GOOD.replaceAll("addresses = .*", ""), "platform", "addresses", "missing", "IP number:port");
        }

        @Test
        void shouldRefuseValueOutOfRange() {
            assertOneFault(
                    GOOD + "[limits]\ndefault-deadline-ms = 99\n",
                    "limits",
                    "default-deadline-ms",
                    "out of range",
                    "from 100 to 3600000");
        }

        @Test
        void shouldRefuseUnit() {
            assertOneFault(
                    GOOD + "[limits]\nmax-header-bytes = 16KB\n",
                    "limits",
                    "max-header-bytes",
                    "not a whole number",
                    "without unit");
        }

        @Test
        void shouldRefuseShortKey() {
            assertOneFault(
                    GOOD.replace("0123456789abcdef", "short"), "security", "deployment-key", "16", "at least 16 bytes");
        }

        @Test
        void shouldRefuseOneAddressForTwoPorts() {
            assertOneFault(
                    GOOD.replace("127.0.0.1:8101", "127.0.0.1:8100"),
                    "instance",
                    "control-address",
                    "is the caller address too",
                    "another port");
        }

        @Test
        void shouldRefuseItselfAsSeed() {
            assertOneFault(
                    GOOD + "[peers]\nseeds = 127.0.0.1:8101\n", "peers", "seeds", "own control address", "other");
        }
    }
}
