/** Parts of the fault-injecting proxy. */
package org.ibissaddle.standins.internal.proxy;
