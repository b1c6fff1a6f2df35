/** One instance of hickorydrift and what it is made of. */
package io.hickorydrift.proxy;
