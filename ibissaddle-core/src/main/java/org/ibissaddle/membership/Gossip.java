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
 * A message between two instances, sent as JSON. Times are ages in milliseconds, so that clocks need not agree. Names
 * of fields are short because each instance sends one such message a second.
 *
 * @param from the sender
 * @param note newest note of the sender
 * @param list newest platform list of the sender
 * @param readAgeMs age of the last successful read of the platform by the sender's zone; negative when none is known
 * @param members news of instances
 * @param servers news of backend servers
 * @param loads loads of backend servers
 * @param pools summaries of pools by availability zone
 * @param regions summaries of regions
 * @param names models and adapters that the other fields refer to by position
 * @param demands greatest demands of workspaces at the sender, not passed on by others
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Gossip(
        @JsonProperty("f") MemberNews from,
        @JsonProperty("n") Mark note,
        @JsonProperty("l") Mark list,
        @JsonProperty("a") long readAgeMs,
        @JsonProperty("m") List<MemberNews> members,
        @JsonProperty("s") List<ServerNews> servers,
        @JsonProperty("d") List<LoadNews> loads,
        @JsonProperty("p") List<PoolNews> pools,
        @JsonProperty("r") List<RegionNews> regions,
        @JsonProperty("x") List<String> names,
        @JsonProperty("w") List<Demand> demands) {
    /** Copies the lists; absent ones are empty. */
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
     * A published document as an instance knows it.
     *
     * @param number number or revision, 0 for none
     * @param digest leading digits of its digest, possibly empty
     * @param ageMs how long ago a source confirmed that it is the newest; negative when none did
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"number", "digest", "ageMs"})
    public record Mark(long number, String digest, long ageMs) {}

    /**
     * News of an instance. The last four fields are absent when the platform's list tells them.
     *
     * @param id its name
     * @param incarnation its incarnation
     * @param refutations how often it refuted a suspicion within the incarnation
     * @param state what is believed of it
     * @param leaving whether it leaves; never taken back within the incarnation
     * @param region its region
     * @param zone its availability zone
     * @param caller where callers reach it
     * @param control where peers reach it
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"id", "incarnation", "refutations", "state", "leaving", "region", "zone", "caller", "control"})
    public record MemberNews(
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
     * News of a backend server.
     *
     * @param id its name
     * @param incarnation its incarnation, null when it says none
     * @param leaving whether it leaves; never taken back within the incarnation
     * @param doubter who could not reach it, null when the news is no doubt
     * @param ageMs age of the observation
     * @param resident positions of resident models and adapters, null when not told
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"id", "incarnation", "leaving", "doubter", "ageMs", "resident"})
    public record ServerNews(
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
     * @param running requests in the running batch
     * @param queued requests waiting
     * @param queuedTokens uncached prompt tokens waiting
     * @param decodeTokens tokens still to generate
     * @param capacity speed, tokens per second
     * @param hitPercent share of prompt tokens found in the prefix cache, percent
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"id", "ageMs", "running", "queued", "queuedTokens", "decodeTokens", "capacity", "hitPercent"})
    public record LoadNews(
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
     * @param running mean of running requests
     * @param queued mean of waiting requests
     * @param queuedTokens mean of waiting prompt tokens
     * @param decodeTokens mean of tokens to generate
     * @param capacity mean speed, tokens per second
     * @param hitPercent mean share found in the prefix cache, percent
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
    public record PoolNews(
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
     * Load of a region as one of its instances estimates it.
     *
     * @param region the region
     * @param ageMs age of the estimate
     * @param loadPercent predicted wait over target, percent
     * @param spare capacity offered to other regions, tokens per second
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"region", "ageMs", "loadPercent", "spare"})
    public record RegionNews(Region region, long ageMs, int loadPercent, long spare) {}

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
