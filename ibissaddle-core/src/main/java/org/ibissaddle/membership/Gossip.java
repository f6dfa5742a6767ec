package org.ibissaddle.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;

/**
 * Gossip message between two instances, sent as JSON. Times are sent as ages in milliseconds, so that clocks need not
 * be synchronized. Field names are short because each instance sends one such message per second.
 *
 * @param from the sender
 * @param note version of the newest release note of the sender
 * @param list version of the newest fleet list of the sender
 * @param readAgeMs age of the last successful read of the platform by the sender's availability zone; negative if none
 *     is known
 * @param members updates on instances
 * @param servers updates on backend servers
 * @param loads load of backend servers
 * @param pools mean load of pools by availability zone
 * @param regions load of regions
 * @param names names of models and adapters; the other fields refer to them by index
 * @param demands highest demands of workspaces at the sender; not relayed by receivers
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Gossip(
        @JsonProperty("f") MemberUpdate from,
        @JsonProperty("n") DocumentVersion note,
        @JsonProperty("l") DocumentVersion list,
        @JsonProperty("a") long readAgeMs,
        @JsonProperty("m") List<MemberUpdate> members,
        @JsonProperty("s") List<ServerUpdate> servers,
        @JsonProperty("d") List<ServerLoadUpdate> loads,
        @JsonProperty("p") List<PoolLoadUpdate> pools,
        @JsonProperty("r") List<RegionLoadUpdate> regions,
        @JsonProperty("x") List<String> names,
        @JsonProperty("w") List<Demand> demands) {
    /** Makes defensive copies; absent lists become empty. */
    public Gossip {
        members = members == null ? List.of() : List.copyOf(members);
        servers = servers == null ? List.of() : List.copyOf(servers);
        loads = loads == null ? List.of() : List.copyOf(loads);
        pools = pools == null ? List.of() : List.copyOf(pools);
        regions = regions == null ? List.of() : List.copyOf(regions);
        names = names == null ? List.of() : List.copyOf(names);
        demands = demands == null ? List.of() : List.copyOf(demands);
    }

    /**
     * Version of a published document at an instance.
     *
     * @param number note number or list revision, 0 for none
     * @param digest leading digits of its digest, may be empty
     * @param ageMs time since a source confirmed that it is the newest version; negative if none has
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"number", "digest", "ageMs"})
    public record DocumentVersion(long number, String digest, long ageMs) {}

    /**
     * Update on an instance. The last four fields are absent when the platform's fleet list contains them.
     *
     * @param id its name
     * @param incarnation its incarnation
     * @param refutations number of suspicions that it refuted within the incarnation
     * @param state its state
     * @param leaving whether it is draining; never reset within the incarnation
     * @param region its region
     * @param zone its availability zone
     * @param caller address for callers
     * @param control control address for peers
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"id", "incarnation", "refutations", "state", "leaving", "region", "zone", "caller", "control"})
    public record MemberUpdate(
            InstanceId id,
            Incarnation incarnation,
            int refutations,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) MemberState state,
            boolean leaving,
            Region region,
            Zone zone,
            Address caller,
            Address control) {}

    /**
     * Update on a backend server.
     *
     * @param id its name
     * @param incarnation its incarnation, null when not reported
     * @param leaving whether it is draining; never reset within the incarnation
     * @param doubter instance that could not reach it, null when the update is not a suspicion
     * @param ageMs age of the observation
     * @param resident indexes of resident models and adapters in the list of names, null when not sent
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"id", "incarnation", "leaving", "doubter", "ageMs", "resident"})
    public record ServerUpdate(
            ServerId id,
            Incarnation incarnation,
            boolean leaving,
            InstanceId doubter,
            long ageMs,
            List<Integer> resident) {}

    /**
     * Load of a backend server.
     *
     * @param id its name
     * @param ageMs age of the report
     * @param running number of requests in the running batch
     * @param queued number of queued requests
     * @param queuedTokens uncached prompt tokens of queued requests
     * @param decodeTokens tokens still to be generated
     * @param capacity throughput, tokens per second
     * @param hitPercent hit rate of the prefix cache, percent of prompt tokens
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"id", "ageMs", "running", "queued", "queuedTokens", "decodeTokens", "capacity", "hitPercent"})
    public record ServerLoadUpdate(
            ServerId id,
            long ageMs,
            int running,
            int queued,
            long queuedTokens,
            long decodeTokens,
            long capacity,
            int hitPercent) {}

    /**
     * Mean load of the servers of a pool in an availability zone.
     *
     * @param zone the zone
     * @param pool the pool
     * @param ageMs age of the summary
     * @param running mean number of running requests
     * @param queued mean number of queued requests
     * @param queuedTokens mean of uncached prompt tokens of queued requests
     * @param decodeTokens mean of tokens still to be generated
     * @param capacity mean throughput, tokens per second
     * @param hitPercent mean hit rate of the prefix cache, percent
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({
        "zone",
        "pool",
        "ageMs",
        "running",
        "queued",
        "queuedTokens",
        "decodeTokens",
        "capacity",
        "hitPercent"
    })
    public record PoolLoadUpdate(
            Zone zone,
            PoolId pool,
            long ageMs,
            int running,
            int queued,
            long queuedTokens,
            long decodeTokens,
            long capacity,
            int hitPercent) {}

    /**
     * Load of a region, estimated by one of its instances.
     *
     * @param region the region
     * @param ageMs age of the estimate
     * @param loadPercent ratio of predicted wait to target wait, percent
     * @param spare spare capacity offered to other regions, tokens per second
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"region", "ageMs", "loadPercent", "spare"})
    public record RegionLoadUpdate(Region region, long ageMs, int loadPercent, long spare) {}

    /**
     * Demand of a workspace at the sender.
     *
     * @param workspace the workspace
     * @param perSecond requests per second
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"workspace", "perSecond"})
    public record Demand(WorkspaceId workspace, double perSecond) {}
}
