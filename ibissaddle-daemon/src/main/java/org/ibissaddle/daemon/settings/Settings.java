package org.ibissaddle.daemon.settings;

import java.util.List;
import java.util.logging.Level;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.ticket.DeploymentKey;

/**
 * Settings of one daemon.
 *
 * @param instance name of the instance
 * @param region its region
 * @param zone its availability zone
 * @param callerAddress where it listens for callers
 * @param controlAddress where it listens for the ask step, peers and operators
 * @param platform addresses of the platform's configuration service, tried in order
 * @param seeds control addresses of other instances, asked when the platform does not answer
 * @param deploymentKey secret shared by the instances of the deployment
 * @param limits bounds of what callers may send
 * @param logLevel least level that is logged
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
     * Bounds of what callers may send.
     *
     * @param maxBodyBytes greatest request body, bytes
     * @param maxHeaderBytes greatest total of header fields, bytes
     * @param defaultDeadlineMs deadline of a request that names none, milliseconds after its arrival
     */
    public record Limits(int maxBodyBytes, int maxHeaderBytes, long defaultDeadlineMs) {}
}
