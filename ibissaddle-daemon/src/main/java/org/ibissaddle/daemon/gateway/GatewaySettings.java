package org.ibissaddle.daemon.gateway;

import java.util.List;
import java.util.Map;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.quota.QuotaBounds;

/**
 * Settings of a gateway instance.
 *
 * @param name name of the instance
 * @param region its region
 * @param zone its availability zone
 * @param zones region of each zone
 * @param callerAddress address that callers connect to
 * @param readinessAddress address of the readiness probe
 * @param directoryAddress address of the directory of instances
 * @param peerAddress address that other instances connect to
 * @param metricsPort port of the metrics, 0 for none
 * @param storeAddress address of the platform's metadata store
 * @param seeds peer addresses of the instances to contact first, without this one
 * @param platformLimits limits set by the platform
 */
public record GatewaySettings(
        InstanceId name,
        Region region,
        Zone zone,
        Map<Zone, Region> zones,
        Address callerAddress,
        Address readinessAddress,
        Address directoryAddress,
        Address peerAddress,
        int metricsPort,
        Address storeAddress,
        List<Address> seeds,
        PlatformLimits platformLimits) {
    /** Copies the collections. */
    public GatewaySettings {
        zones = Map.copyOf(zones);
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns these settings with the reloadable part of others.
     *
     * @param next the settings to take the reloadable part from
     * @return names and addresses of these settings, zones, seeds and bounds of the others
     */
    public GatewaySettings withReloadableFrom(GatewaySettings next) {
        return new GatewaySettings(
                name,
                region,
                zone,
                next.zones,
                callerAddress,
                readinessAddress,
                directoryAddress,
                peerAddress,
                metricsPort,
                storeAddress,
                next.seeds,
                next.platformLimits);
    }

    /**
     * Limits set by the platform.
     *
     * @param retryRatio maximum ratio of retries to requests in the deployment, 0 to 1
     * @param retryWindowMs length of the window of the retry budget, milliseconds
     * @param retrySlack retries allowed beyond the ratio in a window
     * @param stopGraceMs time from the stop signal until the process is killed, milliseconds
     * @param directoryTtlS maximum time to live of a directory response, seconds
     * @param revocation how API keys are revoked
     * @param quotaBounds how far the servers may receive more than a quota; taken at the start of the process
     */
    public record PlatformLimits(
            double retryRatio,
            long retryWindowMs,
            double retrySlack,
            long stopGraceMs,
            int directoryTtlS,
            Revocation revocation,
            QuotaBounds quotaBounds) {
        /** Creates limits with the default bounds of quotas. */
        public PlatformLimits(
                double retryRatio,
                long retryWindowMs,
                double retrySlack,
                long stopGraceMs,
                int directoryTtlS,
                Revocation revocation) {
            this(retryRatio, retryWindowMs, retrySlack, stopGraceMs, directoryTtlS, revocation, QuotaBounds.DEFAULT);
        }
    }

    /**
     * How API keys are revoked.
     *
     * @param strict whether requests that need a key are rejected while the configuration is unconfirmed
     * @param revokeMs time within which a revoked key takes effect, and after which a configuration is unconfirmed,
     *     milliseconds
     */
    public record Revocation(boolean strict, long revokeMs) {
        /** Revocation of a platform that sets nothing. */
        public static final Revocation DEFAULT = new Revocation(false, 5_000);
    }
}
