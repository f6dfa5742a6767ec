/** Links, connections and byte forwarding of the fault-injecting TCP proxy. */
package org.ibissaddle.standins.internal.proxy;
