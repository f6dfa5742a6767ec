package org.ibissaddle.catalog;

import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.Configuration;

/** Change of the state that the platform publishes. */
public sealed interface CatalogEvent {
    /**
     * A server published its entry.
     *
     * @param entry the entry
     */
    record ServerPublished(ServerEntry entry) implements CatalogEvent {}

    /**
     * The entry of a server was removed.
     *
     * @param id the server
     */
    record ServerRemoved(ServerId id) implements CatalogEvent {}

    /**
     * The operator published a configuration.
     *
     * @param configuration the configuration
     */
    record ConfigurationPublished(Configuration configuration) implements CatalogEvent {}

    /**
     * The operator requested the evacuation of an availability zone: its servers must not receive new requests.
     *
     * @param zone the availability zone
     */
    record EvacuationRequested(Zone zone) implements CatalogEvent {}

    /**
     * The operator ended the evacuation of an availability zone.
     *
     * @param zone the availability zone
     */
    record EvacuationWithdrawn(Zone zone) implements CatalogEvent {}

    /**
     * A value could not be decoded and is ignored.
     *
     * @param key key of the value
     * @param reason why it could not be decoded
     */
    record Malformed(String key, String reason) implements CatalogEvent {}

    /**
     * A key that the catalog does not use.
     *
     * @param key the key
     */
    record Ignored(String key) implements CatalogEvent {}
}
