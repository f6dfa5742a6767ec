package org.ibissaddle.daemon.settings;

import java.util.List;
import java.util.logging.Level;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.ticket.DeploymentKey;

/**
 * Settings of a daemon.
 *
 * @param instance id of the instance
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param callerAddress listen address for requests of callers
 * @param controlAddress listen address for routing queries ({@code /v1/ask}), peers and operators
 * @param platform addresses of the configuration service of the platform, tried in order
 * @param seeds control addresses of other instances, used when the platform is unreachable
 * @param deploymentKey secret shared by the instances of the deployment
 * @param limits limits for requests of callers
 * @param logLevel minimum level that is logged
 */
public record Settings(
        InstanceId instance,
        Region region,
        Zone zone,
        Address callerAddress,
        Address controlAddress,
        List<Address> platform,
        List<Address> seeds,
        DeploymentKey deploymentKey,
        Limits limits,
        Level logLevel) {
    /** Copies the lists. */
    public Settings {
        platform = List.copyOf(platform);
        seeds = List.copyOf(seeds);
    }

    /**
     * Limits for requests of callers.
     *
     * @param maxBodyBytes maximum size of a request body, in bytes
     * @param maxHeaderBytes maximum total size of the header fields, in bytes
     * @param defaultDeadlineMs deadline of a request without one, in milliseconds after its arrival
     */
    public record Limits(int maxBodyBytes, int maxHeaderBytes, long defaultDeadlineMs) {}
}
