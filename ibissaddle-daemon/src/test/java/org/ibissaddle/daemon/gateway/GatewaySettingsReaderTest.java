package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.ibissaddle.daemon.settings.SettingsException;
import org.ibissaddle.quota.QuotaBounds;
import org.junit.jupiter.api.Test;

/** Tests the settings that a platform may leave out. */
class GatewaySettingsReaderTest {
    private static GatewaySettings.Revocation read(String optional) throws SettingsException {
        return readLimits(optional).revocation();
    }

    private static GatewaySettings.PlatformLimits readLimits(String optional) throws SettingsException {
        return GatewaySettingsReader.read("test", """
                [instance]
                name = north-1
                region = north
                zone = north-a
                zones = north-a:north
                [gateway]
                caller-address = 127.0.0.1:1001
                readiness-address = 127.0.0.1:1002
                directory-address = 127.0.0.1:1003
                peer-address = 127.0.0.1:1004
                metrics-port = 0
                [platform]
                store-address = 127.0.0.1:1005
                [peers]
                seeds =
                [bounds]
                retry-ratio = 0.2
                retry-window-s = 10
                retry-slack = 20
                stop-grace-s = 8
                directory-ttl-s = 5
                """ + optional).platformLimits();
    }

    @Test
    void shouldReadTheRevocation() throws SettingsException {
        assertThat(read("strict-revoke = true\nrevoke-ms = 3000\n"))
                .isEqualTo(new GatewaySettings.Revocation(true, 3_000));
    }

    /** Guards against a start that fails on a platform that renders missing values as empty text. */
    @Test
    void shouldUseDefaultsForMissingAndEmptyValues() throws SettingsException {
        assertThat(read("")).isEqualTo(new GatewaySettings.Revocation(false, 5_000));
        assertThat(read("strict-revoke =\nrevoke-ms =\n")).isEqualTo(GatewaySettings.Revocation.DEFAULT);
    }

    @Test
    void shouldRefuseAFlagThatIsNone() {
        assertThatThrownBy(() -> read("strict-revoke = maybe\n")).hasMessageContaining("strict-revoke");
    }

    @Test
    void shouldReadTheBoundsOfQuotas() throws SettingsException {
        assertThat(readLimits("quota-window-s = 4\nquota-excess = 0.5\nquota-slack = 190000\n")
                        .quotaBounds())
                .isEqualTo(new QuotaBounds(4_000, 0.5, 190_000));
        assertThat(readLimits("quota-window-s =\nquota-excess =\nquota-slack =\n")
                        .quotaBounds())
                .isEqualTo(QuotaBounds.DEFAULT);
        assertThatThrownBy(() -> readLimits("quota-excess = much\n")).hasMessageContaining("quota-excess");
    }
}
