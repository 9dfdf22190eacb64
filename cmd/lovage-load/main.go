// Command lovage-load is under construction.
package main

func main() {}
