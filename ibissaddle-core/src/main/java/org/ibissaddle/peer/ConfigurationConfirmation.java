package org.ibissaddle.peer;

import java.util.OptionalLong;
import org.ibissaddle.catalog.StoreVersion;

/**
 * Remembers when the local configuration was last known to be the one in force: when the store answered a call, or when
 * an instance that reaches the store had seen nothing newer. Not thread-safe; confined to one thread.
 */
public final class ConfigurationConfirmation {
    private OptionalLong latestMs = OptionalLong.empty();

    /** Creates the state of an instance that has heard from nobody. */
    public ConfigurationConfirmation() {}

    /**
     * Records that the store has answered and that the changes in its answer are applied.
     *
     * @param nowMs current time, milliseconds
     */
    public void recordStoreAnswer(long nowMs) {
        latestMs = OptionalLong.of(nowMs);
    }

    /**
     * Records a message of another instance. An instance that has not read the store since its start knows no version
     * and confirms nothing.
     *
     * @param sender the state that the instance sent itself
     * @param hasAllChanges whether the message brought all changes that the local instance lacked
     * @param localVersion latest version that the local instance knows, after the changes in the message
     * @param nowMs current time, milliseconds
     */
    public void recordMessage(PeerState sender, boolean hasAllChanges, StoreVersion localVersion, long nowMs) {
        boolean knowsNothingNewer = hasAllChanges || !sender.storeVersion().isAfter(localVersion);
        if (sender.platformReachable() && sender.storeVersion().isAfter(StoreVersion.NONE) && knowsNothingNewer) {
            latestMs = OptionalLong.of(nowMs);
        }
    }

    /**
     * Returns the time since the latest confirmation.
     *
     * @param nowMs current time, milliseconds
     * @return milliseconds, empty if there was none
     */
    public OptionalLong ageMs(long nowMs) {
        return latestMs.isPresent() ? OptionalLong.of(nowMs - latestMs.getAsLong()) : OptionalLong.empty();
    }

    /**
     * Returns whether the configuration was confirmed recently.
     *
     * @param maxAgeMs maximum time since the latest confirmation, milliseconds
     * @param nowMs current time, milliseconds
     * @return true if the latest confirmation is at most that old
     */
    public boolean isRecent(long maxAgeMs, long nowMs) {
        OptionalLong ageMs = ageMs(nowMs);
        return ageMs.isPresent() && ageMs.getAsLong() <= maxAgeMs;
    }
}
