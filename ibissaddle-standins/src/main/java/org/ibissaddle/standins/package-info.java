/** Stand-ins for model engines, plain services and the platform, and a fault-injecting TCP proxy. */
package org.ibissaddle.standins;
