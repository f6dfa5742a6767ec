/** Typed identifiers, among them those of regions, availability zones, instances, requests and backend servers. */
package org.ibissaddle.id;
